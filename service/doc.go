// Package service is an HTTP client for plain services.
package service
