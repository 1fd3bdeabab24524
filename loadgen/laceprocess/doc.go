// Package laceprocess starts the processes of an experiment, and ends those and no others.
package laceprocess
