// Package laceload runs a workload against a fleet and checks every response and what was billed.
package laceload
