// Package lacejournal keeps the records of requests that ran while the platform was out of reach, the own ones and
// copies of other instances', until the ledger has taken them.
//
// Book decides and has no sockets, goroutines or clock; Service carries out what it decides.
package lacejournal
