package main

import (
	"strconv"
	"time"

	"github.com/azurebarrow/azurebarrow/settings"
)

// addressReuseOption overrides the time for which addresses stay with their service. It is a text, since the platform
// renders a bound that a deployment doesn't have as an empty variable.
type addressReuseOption struct {
	AddressReuse string `long:"address-reuse-s" env:"AZUREBARROW_ADDRESS_REUSE_S" value-name:"SECONDS" description:"overrides passthrough.addressReuse"`
}

// maxAddressReuseSeconds is a day, beyond which the number is taken for a mistake.
const maxAddressReuseSeconds = 24 * 60 * 60

// override replaces the setting if the option is not empty. It returns a finding if that is no number of seconds.
func (o addressReuseOption) override(s *settings.Passthrough) []settings.Finding {
	if o.AddressReuse == "" {
		return nil
	}
	seconds, err := strconv.ParseFloat(o.AddressReuse, 64)
	if err != nil || !(seconds >= 0 && seconds <= maxAddressReuseSeconds) {
		return []settings.Finding{{File: "flags", Field: "address-reuse-s", Message: strconv.Quote(o.AddressReuse) + " is not a number of seconds up to a day"}}
	}
	s.AddressReuse = time.Duration(seconds * float64(time.Second))
	return nil
}
