// Package lacestandin runs emulators of the external systems that the fleet depends on: the platform's key-value
// store, the instance list, model engines, plain services and the weight store. Each server listens on its own loopback
// address.
//
//	standin -config samples/standin.yaml [-only platform,list] [-seed 7] [-fault 'order-1:late=0.1,late_by=2s']
//
// Every server has GET and POST /faults; a POST replaces all faults of that server. Servers other than the instance
// list report the counts of the requests that reached them at GET /v1/counts.
package lacestandin
