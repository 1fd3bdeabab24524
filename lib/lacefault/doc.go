// Package lacefault defines the closed set of outcomes and codes that callers see.
package lacefault
