// Package object is the HTTP client of this project's own object API, on which package node runs. VMs on the users'
// platform use package platform instead.
package object
