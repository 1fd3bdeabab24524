// Package lacekernel registers services under plain names and supervises their lifetimes.
//
// The kernel knows names and lifetimes and nothing of what the services do.
package lacekernel
