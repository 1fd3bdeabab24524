// Package laceprocess starts and stops the processes of an experiment; it signals no process that it did not start.
package laceprocess
