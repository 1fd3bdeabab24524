// Package laceoverhead measures what an instance adds to a direct call of the same backend server.
package laceoverhead
