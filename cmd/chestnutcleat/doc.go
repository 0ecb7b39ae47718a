// Command chestnutcleat runs the processes that schedule the calls of agent programs, and has the tools to operate and test them.
package main
