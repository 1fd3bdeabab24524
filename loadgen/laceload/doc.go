// Package laceload runs a workload against a fleet and checks every response and the billed tokens.
package laceload
