// Package fused has one operation that arm64 fuses, for the test of the check that finds such operations.
package fused

// MultiplyAdd returns x*y + z.
func MultiplyAdd(x, y, z float64) float64 { return x*y + z }
