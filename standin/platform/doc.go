// Package platform is a stand-in for the platform's object API, with faults.
package platform
