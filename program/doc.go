// Package program keeps the order, budget and answers of programs at their owner.
package program
