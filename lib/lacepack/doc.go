// Package lacepack makes messages between instances small: against what the receiver already holds, and compressed.
package lacepack
