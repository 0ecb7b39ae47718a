// Package service sends calls to plain services over HTTP.
package service
