// Package lacetrace records the inputs of request state machines and replays them.
//
// A trace consists of JSON lines: the request's spec, then one line for each input, in order. A file may contain many
// traces. The gateway records traces of real requests; tests replay recorded traces and compare the effects with golden
// files.
package lacetrace
