package memory

import (
	"bytes"
	"context"
	"io"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"
)

// most is the largest body.
const most = 32 << 20

// endlessBody is a body without end that counts the bytes read.
type endlessBody struct{ read int }

func (e *endlessBody) Read(p []byte) (int, error) {
	e.read += len(p)
	return len(p), nil
}

// Bodies without end take no more memory together than there is, and none of it afterwards.
func TestEndlessBodiesTakeBoundedMemory(t *testing.T) {
	const memory, answers = 4 << 20, 100
	m := NewPool(memory)
	var wg sync.WaitGroup
	for range answers {
		wg.Go(func() {
			body := &endlessBody{}
			_, release, err := m.ReadAll(body, most)
			require.ErrorIs(t, err, ErrExhausted)
			require.LessOrEqual(t, body.read, memory+FreeBytes)
			release()
		})
	}
	wg.Wait()
	require.Equal(t, memory, m.free)
}

// Typical bodies are read while there is no memory for large ones, and large ones while there is.
func TestBodiesWithinTheirMemoryAreRead(t *testing.T) {
	m := NewPool(1 << 20)
	read := func(size int) (err error) {
		want := bytes.Repeat([]byte("y"), size)
		got, release, err := m.ReadAll(bytes.NewReader(want), most)
		defer release()
		require.True(t, err != nil || bytes.Equal(want, got))
		return err
	}
	for _, size := range []int{0, 1, 511, 512, 513, FreeBytes, FreeBytes + 1, 500 << 10} {
		require.NoError(t, read(size), "%d bytes", size)
	}
	require.Equal(t, 1<<20, m.free)
	require.True(t, m.Take(1<<20))
	require.NoError(t, read(800))
	require.NoError(t, read(FreeBytes-1))
	require.ErrorIs(t, read(FreeBytes+1), ErrExhausted)
	_, release, err := m.ReadAll(io.MultiReader(bytes.NewReader(make([]byte, 100)), errorReader{}), most)
	release()
	require.ErrorIs(t, err, io.ErrUnexpectedEOF, "a broken answer is not whole")
	require.Zero(t, m.free)
}

type errorReader struct{}

func (errorReader) Read([]byte) (int, error) { return 0, io.ErrUnexpectedEOF }

// Bodies of a known size are refused before they are read.
func TestBodyOfKnownSizeIsNotReadWithoutMemory(t *testing.T) {
	m := NewPool(1 << 20)
	data, release, err := m.Read(bytes.NewReader(make([]byte, 1<<20)), 1<<20)
	require.NoError(t, err)
	require.Len(t, data, 1<<20)
	body := &endlessBody{}
	_, none, err := m.Read(body, FreeBytes+1)
	require.ErrorIs(t, err, ErrExhausted)
	require.Zero(t, body.read)
	none()
	_, small, err := m.Read(body, FreeBytes)
	require.NoError(t, err)
	small()
	require.Zero(t, m.Free())
	release()
	require.Equal(t, 1<<20, m.Free())
	_, short, err := m.Read(bytes.NewReader(make([]byte, 100)), 200<<10)
	require.ErrorIs(t, err, io.ErrUnexpectedEOF)
	short()
	require.Equal(t, 1<<20, m.Free())
}

// Bodies that are not refused are read one after the other.
func TestBodiesWaitForMemory(t *testing.T) {
	const size = 1 << 20
	m := NewPool(size)
	var wg sync.WaitGroup
	for range 20 {
		wg.Go(func() {
			data, release, err := m.AwaitRead(t.Context(), bytes.NewReader(make([]byte, size)), size)
			defer release()
			require.NoError(t, err)
			require.Len(t, data, size)
		})
	}
	wg.Wait()
	require.Equal(t, size, m.Free())
	_, _, err := m.AwaitRead(t.Context(), &endlessBody{}, size+1)
	require.ErrorIs(t, err, ErrExhausted, "more than there is")
	require.True(t, m.Take(size))
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	_, _, err = m.AwaitRead(ctx, &endlessBody{}, size)
	require.ErrorIs(t, err, ErrExhausted)
}
