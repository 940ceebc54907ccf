package load

import (
	"fmt"
	"math"
	"math/rand/v2"
	"strconv"
	"strings"
)

// Shape names a family of distributions.
type Shape string

// Shapes of distributions.
const (
	Fixed     Shape = "fixed"
	Uniform   Shape = "uniform"
	LogNormal Shape = "lognormal"
)

// Distribution is a distribution of positive integers. Its text forms are "fixed:N",
// "uniform:LOW-HIGH" and "lognormal:MEDIAN,SIGMA,MAX".
type Distribution struct {
	Shape Shape
	// Low is the value of Fixed, the minimum of Uniform and the median of LogNormal.
	Low int
	// High is the maximum of Uniform and LogNormal.
	High int
	// Sigma is the standard deviation of LogNormal's logarithm.
	Sigma float64
}

// Draw returns a random number of the distribution.
func (d Distribution) Draw(random *rand.Rand) int {
	switch d.Shape {
	case Uniform:
		return max(1, d.Low+random.IntN(d.High-d.Low+1))
	case LogNormal:
		drawn := float64(d.Low) * math.Exp(d.Sigma*random.NormFloat64())
		return max(1, min(d.High, int(drawn)))
	default:
		return max(1, d.Low)
	}
}

// ParseDistribution parses a text form.
func ParseDistribution(text string) (Distribution, error) {
	shape, rest, _ := strings.Cut(text, ":")
	d := Distribution{Shape: Shape(shape)}
	var err error
	switch d.Shape {
	case Fixed:
		d.Low, err = strconv.Atoi(rest)
	case Uniform:
		_, err = fmt.Sscanf(rest, "%d-%d", &d.Low, &d.High)
	case LogNormal:
		_, err = fmt.Sscanf(rest, "%d,%g,%d", &d.Low, &d.Sigma, &d.High)
	default:
		err = fmt.Errorf("unknown shape %q", shape)
	}
	if err == nil && d.Shape == Uniform && d.High < d.Low {
		err = fmt.Errorf("%d is less than %d", d.High, d.Low)
	}
	if err != nil {
		return d, fmt.Errorf("distribution %q: %w", text, err)
	}
	return d, nil
}

// UnmarshalFlag parses a text form given on the command line.
func (d *Distribution) UnmarshalFlag(text string) error {
	parsed, err := ParseDistribution(text)
	*d = parsed
	return err
}
