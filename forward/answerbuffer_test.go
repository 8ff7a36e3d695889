package forward

import (
	"bytes"
	"io"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"
)

// endlessBody is a body without end that counts the bytes read.
type endlessBody struct{ read int }

func (e *endlessBody) Read(p []byte) (int, error) {
	e.read += len(p)
	return len(p), nil
}

// Answers without end take no more memory together than there is for answers, and none of it
// afterwards.
func TestEndlessAnswersTakeBoundedMemory(t *testing.T) {
	const memory, answers = 4 << 20, 100
	m := newAnswerMemory(memory)
	var wg sync.WaitGroup
	for range answers {
		wg.Go(func() {
			body := &endlessBody{}
			_, release, err := m.readAll(body)
			require.ErrorIs(t, err, errNoAnswerMemory)
			require.LessOrEqual(t, body.read, memory+freeAnswerBytes)
			release()
		})
	}
	wg.Wait()
	require.Equal(t, memory, m.free)
}

// Typical answers are read while there is no memory for large ones, and large ones while there is.
func TestAnswersWithinTheirMemoryAreRead(t *testing.T) {
	m := newAnswerMemory(1 << 20)
	read := func(size int) (err error) {
		want := bytes.Repeat([]byte("y"), size)
		got, release, err := m.readAll(bytes.NewReader(want))
		defer release()
		require.True(t, err != nil || bytes.Equal(want, got))
		return err
	}
	for _, size := range []int{0, 1, 511, 512, 513, freeAnswerBytes, freeAnswerBytes + 1, 500 << 10} {
		require.NoError(t, read(size), "%d bytes", size)
	}
	require.Equal(t, 1<<20, m.free)
	require.True(t, m.take(1<<20))
	require.NoError(t, read(800))
	require.NoError(t, read(freeAnswerBytes-1))
	require.ErrorIs(t, read(freeAnswerBytes+1), errNoAnswerMemory)
	_, release, err := m.readAll(io.MultiReader(bytes.NewReader(make([]byte, 100)), errorReader{}))
	release()
	require.ErrorIs(t, err, io.ErrUnexpectedEOF, "a broken answer is not whole")
	require.Zero(t, m.free)
}

type errorReader struct{}

func (errorReader) Read([]byte) (int, error) { return 0, io.ErrUnexpectedEOF }
