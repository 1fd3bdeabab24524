// Package lacetrace records the inputs of request machines and replays them.
//
// A trace is a text of JSON lines: first the request's spec, then one line for each input, in order. A file may hold
// many of them. The gateway writes traces of real requests; tests replay files of them against stated outcomes.
package lacetrace
