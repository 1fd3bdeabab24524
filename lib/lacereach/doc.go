// Package lacereach decides whether an instance is isolated, that is, whether it reaches no backend server although the
// servers may be well. It has neither sockets nor a clock: its caller reports evidence and runs the probes.
package lacereach
