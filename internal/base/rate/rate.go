// Package rate has the unit of request rates.
package rate

import "math"

// PerSecond is a number of requests per second.
type PerSecond float64

// Unlimited is the rate of what has no limit.
const Unlimited = PerSecond(math.MaxFloat64)
