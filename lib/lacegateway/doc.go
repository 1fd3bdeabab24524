// Package lacegateway implements the HTTP API for callers and drives the state machines of package lacerequest.
package lacegateway
