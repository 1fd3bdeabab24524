// Package lacegateway is the HTTP API for callers and the driver of the lacerequest state machines.
package lacegateway
