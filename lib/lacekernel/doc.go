// Package lacekernel implements a registry of the named services of a process and supervises their lifecycle: it starts
// them, restarts those that fail, and closes them in reverse order of registration.
//
// The kernel handles names and lifecycle only and does not depend on what the services do.
package lacekernel
