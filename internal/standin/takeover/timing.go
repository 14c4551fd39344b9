package main

import (
	"math/rand/v2"
	"time"
)

// workTime is how long a database works on a statement.
const workTime = 5 * time.Millisecond

// pause waits for a random time between the bounds.
func pause(least, most time.Duration) { time.Sleep(least + rand.N(most-least)) }
