// Package laceworkload decodes workload files and draws the requests of a run from a seed.
package laceworkload
