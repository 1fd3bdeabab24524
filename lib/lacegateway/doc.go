// Package lacegateway is the HTTP API for callers and the shell that runs lacerequest machines.
package lacegateway
