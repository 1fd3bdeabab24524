// Package laceadmin implements the HTTP administration API and its client.
package laceadmin
