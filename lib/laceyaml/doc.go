// Package laceyaml converts between YAML and plain Go values with schemas that are written by hand as lists of fields.
//
// Decoder, encoder, command line flags and reference pages share one schema, so they can't diverge.
package laceyaml
