// Package lacecontrol implements lacectl, the command-line client of the admin API.
package lacecontrol
