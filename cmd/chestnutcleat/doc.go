// Command chestnutcleat schedules the calls of agent programs.
package main
