// Package lacepack compresses messages between instances, with data that the receiver already has as the dictionary.
package lacepack
