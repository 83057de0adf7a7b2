// AVA_FILES names other compiled tests, such as those of a deliberately broken copy.
export default {
  files: [process.env.AVA_FILES ?? 'dist/test/**/*.test.js'],
  timeout: '120s',
  workerThreads: false,
  concurrency: 4,
};
