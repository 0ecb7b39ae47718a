// Package service is a stand-in plain service that counts executions, with fault injection.
package service
