package main

import (
	"math/rand/v2"
	"time"
)

// workTime is how long a database works on a statement.
var workTime = func(string) time.Duration { return 15 * time.Millisecond }

// pause waits for a random time between the bounds.
func pause(least, most time.Duration) { time.Sleep(least + rand.N(most-least)) }
