// Package laceworkload decodes workload files and generates the requests of a run from a seed.
package laceworkload
