//go:build !race

package virtual

// RaceDetector reports whether the program was built with the race detector.
const RaceDetector = false
