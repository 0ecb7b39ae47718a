// Package object is the HTTP client of the object API that the product's own interface runs on. VMs on the users'
// platform use package platform instead.
package object
