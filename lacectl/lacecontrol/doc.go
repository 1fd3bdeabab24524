// Package lacecontrol is the operators' command line over the administration API.
package lacecontrol
