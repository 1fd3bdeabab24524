// Package laceorder sends orders to engines: load a model, an adapter or a version, change the role.
//
// One instance at a time holds the right to send, by a lease of the platform; the revision of the lease's key is the
// fencing token. Tenure and Planner are the decision core, with time as an input; Service is the shell over the
// platform.
package laceorder
