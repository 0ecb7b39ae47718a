// Package role assembles the processes of the system's roles.
package role
