// Package laceexperiment runs a workload repeatedly against fleets of processes under faults and compares variants.
package laceexperiment
