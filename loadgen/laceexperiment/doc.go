// Package laceexperiment runs a workload repeatedly against fleets of processes with injected faults and compares
// variants.
package laceexperiment
