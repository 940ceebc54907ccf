//go:build linkfault

package main

import "github.com/azurebarrow/azurebarrow/standin/linkfault"

func init() {
	if links := linkfault.FromEnvironment(); links != nil {
		dialTarget = links.Dial
	}
}
