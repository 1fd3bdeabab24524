// Package laceunit defines the identifiers and units that every other package shares.
package laceunit
