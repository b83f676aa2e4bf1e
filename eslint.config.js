import tseslint from 'typescript-eslint';

export default tseslint.config(
  { ignores: ['dist/**', 'target/**', 'build-*/**', 'node_modules/**', '.ledgegauge/**'] },
  ...tseslint.configs.recommended,
  {
    rules: {
      '@typescript-eslint/no-explicit-any': 'error',
      'max-lines': ['error', { max: 400, skipBlankLines: true, skipComments: true }],
      complexity: ['error', 16],
      eqeqeq: 'error',
      '@typescript-eslint/no-unused-vars': [
        'error',
        { ignoreRestSiblings: true, varsIgnorePattern: '^_' },
      ],
      'prefer-const': 'error',
    },
  },
  {
    files: ['src/**/*.ts', 'lab/**/*.ts', 'emulator/**/*.ts'],
    rules: {
      'no-restricted-imports': [
        'error',
        { patterns: [{ group: ['**/platform/**'], message: 'The product knows no platform.' }] },
      ],
    },
  },
);
