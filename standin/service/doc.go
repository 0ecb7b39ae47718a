// Package service is a stand-in for a plain service. It counts executions and can inject faults.
package service
