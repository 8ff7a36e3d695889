//go:build !race

package virtual

// raceDetector says that the program was built with the race detector.
const raceDetector = false
