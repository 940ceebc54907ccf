package callerlimit

import "github.com/azurebarrow/azurebarrow/adapters/metrics"

// RegisterMetrics registers the metrics of the callers' limiter, and those of the other listeners as sums.
func RegisterMetrics(set *metrics.Set, callers *Limiter, others ...*Limiter) {
	set.AddGauge("callers_held_bytes", func() float64 { return float64(callers.HeldBytes()) })
	set.AddGauge("callers_connections", func() float64 { return float64(callers.ConnectionCount()) })
	for _, kind := range Kinds() {
		set.AddCounter("callers_refused_"+kind.String(), func() int64 { return callers.RefusalCount(kind) })
	}
	sum := func(value func(l *Limiter) int64) int64 {
		var total int64
		for _, limiter := range others {
			total += value(limiter)
		}
		return total
	}
	set.AddGauge("other_listeners_held_bytes", func() float64 { return float64(sum((*Limiter).HeldBytes)) })
	set.AddGauge("other_listeners_connections", func() float64 {
		return float64(sum(func(l *Limiter) int64 { return int64(l.ConnectionCount()) }))
	})
	set.AddCounter("other_listeners_refused", func() int64 {
		return sum(func(l *Limiter) int64 {
			var refused int64
			for _, kind := range Kinds() {
				refused += l.RefusalCount(kind)
			}
			return refused
		})
	})
}
