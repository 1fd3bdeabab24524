// Package laceload plays a workload against a fleet and checks every answer and every bill.
package laceload
