// Package lacekernel is a registry of named services that supervises their lifecycle.
//
// The kernel handles names and lifecycle only and does not depend on what the services do.
package lacekernel
