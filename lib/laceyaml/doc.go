// Package laceyaml maps YAML to and from plain Go values through tables of fields written by hand.
//
// One table serves the decoder, the encoder, the command line flags and the reference pages, so they can't differ.
package laceyaml
