//go:build !race

package virtual

// raceDetector reports whether the program was built with the race detector.
const raceDetector = false
